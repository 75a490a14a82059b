"""Deterministic tokens, prompts and stream events of the engine stand-in."""

import hashlib
import json

# Length of the beginning of a prompt that is cached and identified in cache events.
MAX_PREFIX_CHARACTERS = 1024
CHARACTERS_PER_TOKEN = 4


def token_at(model: str, prompt: str, position: int) -> str:
    """Return one token of a completion; the same arguments give the same token."""
    digest = hashlib.sha256(f"{model}\0{prompt}\0{position}".encode()).hexdigest()
    return f" {digest[:5]}"


def completion_text(model: str, prompt: str, count: int) -> str:
    """Return the text of a completion that is not interrupted."""
    return "".join(token_at(model, prompt, position) for position in range(count))


def prefix_key(model: str, prompt: str) -> str:
    """Return the cache key of the beginning of a prompt."""
    return f"{model}\0{prompt[:MAX_PREFIX_CHARACTERS]}"


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat or completion request as a single string."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def count_tokens(text: str) -> int:
    """Return the length of a text in tokens, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def encode_event(model: str, prompt: str, position: int, chat: bool) -> bytes:
    """Encode one token as a server-sent event."""
    text = token_at(model, prompt, position)
    choice = {"index": 0, "delta": {"content": text}} if chat else {"text": text}
    data = json.dumps({"model": model, "choices": [choice]})
    return f"id: {position}\ndata: {data}\n\n".encode()
