"""Estimates the tokens of a prompt without a tokenizer."""

__all__ = ["estimate_prompt_tokens"]

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4


def estimate_prompt_tokens(content):
    """Estimate the number of tokens of a prompt.

    Parameters
    ----------
    content : dict
        Checked body of a model request, with ``messages`` or ``prompt``.

    Returns
    -------
    int
        One token for four characters, rounded up, and four for the frame of
        each message.

    Examples
    --------
    >>> estimate_prompt_tokens({"prompt": "a" * 41})
    11
    """
    if "prompt" in content:
        return _tokens_of(content["prompt"])
    return sum(
        TOKENS_PER_MESSAGE + _tokens_of(_text_of(message["content"]))
        for message in content["messages"]
    )


def _tokens_of(text):
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def _text_of(content):
    if isinstance(content, str):
        return content
    return "".join(str(part.get("text", "")) for part in content)
