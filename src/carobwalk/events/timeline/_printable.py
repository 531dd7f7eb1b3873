"""Text that is safe to show."""


def printable(text: str) -> str:
    """Return a text with escapes for all that can't be shown on one line."""
    if text.isprintable():
        return text
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode('ascii')
        for character in text
    )


def describe_fields(fields: dict[str, str]) -> str:
    """Return fields as ``name=text`` on one line."""
    pairs = (f'{name}={text}' for name, text in fields.items())
    return printable(' '.join(pairs))
