"""Wire formats: messages, envelopes, data packets and refusal codes."""
