"""Messages, packets, envelopes and refusal codes."""
