"""Escaping of text for display."""


def escape_text(text: str) -> str:
    """Return a text with all unprintable characters escaped."""
    if text.isprintable():
        return text
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode('ascii')
        for character in text
    )


def format_fields(fields: dict[str, str]) -> str:
    """Format fields as ``name=value`` pairs on one line."""
    pairs = (f'{name}={text}' for name, text in fields.items())
    return escape_text(' '.join(pairs))
