"""The types of settings, which check the values themselves."""

from __future__ import annotations

import abc
import ipaddress
import math
import urllib.parse
from typing import Any

_PORT_LIMIT = 65535


class Option(abc.ABC):
    """The type of one setting.

    Attributes:
        kind: name of the type for people.
        remedy: what to give in place of a wrong value.
    """

    kind: str
    remedy: str

    @abc.abstractmethod
    def parse(self, text: str) -> Any:
        """Converts the text of a flag or variable.

        Raises:
            ValueError: the text is no such value.
        """


class Text(Option):
    """A text, by default not empty."""

    kind = 'text'

    def __init__(self, empty: bool = False):
        self._empty = empty
        self.remedy = 'give a text' if empty else 'give a text, not empty'

    def parse(self, text: str) -> str:
        """Returns the text without surrounding spaces."""
        text = text.strip()
        if not text and not self._empty:
            raise ValueError('is empty')
        return text


class Factor(Option):
    """A factor above 0."""

    kind = 'factor'
    remedy = 'give a number above 0, such as 1.5'

    def parse(self, text: str) -> float:
        """Returns the number.

        >>> Factor().parse('1.5')
        1.5
        """
        value = float(text)
        if not math.isfinite(value) or value <= 0:
            raise ValueError('is not above 0 and finite')
        return value


class Amount(Option):
    """A number of at least 0, also with a fraction."""

    kind = 'number'
    remedy = 'give a number of at least 0, such as 35.8'

    def parse(self, text: str) -> float:
        """Returns the number.

        >>> Amount().parse('35.8')
        35.8
        """
        value = float(text)
        if not math.isfinite(value) or value < 0:
            raise ValueError('is not finite and at least 0')
        return value


class Seconds(Factor):
    """A time span above 0, in seconds."""

    kind = 'seconds'
    remedy = 'give a number of seconds above 0, such as 0.5'


class Count(Option):
    """A whole number of at least a minimum."""

    kind = 'whole number'

    def __init__(self, minimum: int = 1):
        self._minimum = minimum
        self.remedy = f'give a whole number of at least {minimum}'

    def parse(self, text: str) -> int:
        """Returns the number."""
        value = int(text)
        if value < self._minimum:
            raise ValueError(f'is below {self._minimum}')
        return value


class Choice(Option):
    """One of several words."""

    kind = 'choice'

    def __init__(self, *words: str):
        self._words = words
        self.remedy = 'give one of ' + ', '.join(words)

    def parse(self, text: str) -> str:
        """Returns the word."""
        if text not in self._words:
            raise ValueError('is not one of the choices')
        return text


class Address(Option):
    """An IP number and a port to listen on; port 0 takes any free one."""

    kind = 'ip:port'
    remedy = 'give an IP number and a port, such as 127.0.0.1:7400'

    def parse(self, text: str) -> str:
        """Returns the address.

        >>> Address().parse('[::1]:80')
        '[::1]:80'
        """
        ip, colon, port = text.rpartition(':')
        if not colon:
            raise ValueError('has no port')
        if ip.startswith('[') and ip.endswith(']'):
            ipaddress.IPv6Address(ip[1:-1])
        else:
            ipaddress.IPv4Address(ip)
        if not port.isascii() or not port.isdigit():
            raise ValueError('has no numeric port')
        if int(port) > _PORT_LIMIT:
            raise ValueError('has a port outside the range')
        return text


class Share(Option):
    """A share from 0 to 1."""

    kind = 'share'
    remedy = 'give a number from 0 to 1, such as 0.2'

    def parse(self, text: str) -> float:
        """Returns the share.

        >>> Share().parse('0.2')
        0.2
        """
        value = float(text)
        if not 0 <= value <= 1:
            raise ValueError('is not from 0 to 1')
        return value


class Addresses(Option):
    """Addresses of peers, joined by commas; may be empty."""

    kind = 'ip:port,...'
    remedy = 'give addresses such as 10.0.0.1:7400,10.0.0.2:7400'

    def parse(self, text: str) -> tuple[str, ...]:
        """Returns the addresses.

        >>> Addresses().parse('127.0.0.1:1, 127.0.0.1:2')
        ('127.0.0.1:1', '127.0.0.1:2')
        """
        parts = [part.strip() for part in text.split(',')]
        address = Address()
        return tuple(address.parse(part) for part in parts if part)


class Url(Option):
    """An HTTP address of the platform's services."""

    kind = 'url'
    remedy = 'give an address such as http://127.0.0.1:8500'

    def parse(self, text: str) -> str:
        """Returns the address without a slash at the end."""
        parts = urllib.parse.urlsplit(text)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise ValueError('is no http or https address')
        if parts.username is not None or parts.password is not None:
            raise ValueError('carries a user name or password')
        return text.rstrip('/')


class Secret(Option):
    """A secret, given by variable or file and never by flag.

    Args:
        optional: whether it may be left out.
    """

    kind = 'secret'

    def __init__(self, optional: bool = False):
        self._optional = optional
        self.remedy = (
            'set the variable, or name a readable file with the secret, '
            'which has no spaces'
        )

    def parse(self, text: str) -> str:
        """Returns the secret; errors never quote it."""
        text = text.strip()
        if not text and not self._optional:
            raise ValueError('is empty')
        if any(character.isspace() for character in text):
            raise ValueError('contains a space')
        return text
