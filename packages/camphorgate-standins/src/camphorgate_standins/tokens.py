"""What the engine stand-in says: deterministic tokens, prompts and events."""

import hashlib
import json

# The part of a prompt whose KV cache is kept, as cache events name it.
PREFIX_CHARACTERS = 1024
CHARACTERS_PER_TOKEN = 4


def token_at(model: str, prompt: str, position: int) -> str:
    """Return one token of an answer; the same arguments give the same token."""
    digest = hashlib.sha256(f"{model}\0{prompt}\0{position}".encode()).hexdigest()
    return f" {digest[:5]}"


def answer_text(model: str, prompt: str, count: int) -> str:
    """Return the whole answer that an unbroken run gives."""
    return "".join(token_at(model, prompt, position) for position in range(count))


def prefix_key(model: str, prompt: str) -> str:
    """Return what the KV cache of a prompt's beginning is kept under."""
    return f"{model}\0{prompt[:PREFIX_CHARACTERS]}"


def prompt_of(body: dict) -> str:
    """Return the prompt of a chat or completion request as one text."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def tokens_of(text: str) -> int:
    """Return the length of a text in tokens, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def encode_event(model: str, prompt: str, position: int, chat: bool) -> bytes:
    """Return one server-sent event with one token."""
    text = token_at(model, prompt, position)
    choice = {"index": 0, "delta": {"content": text}} if chat else {"text": text}
    data = json.dumps({"model": model, "choices": [choice]})
    return f"id: {position}\ndata: {data}\n\n".encode()
