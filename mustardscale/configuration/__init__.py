"""What operators publish and how it reaches every host."""
