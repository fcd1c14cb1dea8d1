"""How the program is built and where it runs on the users' platform."""
