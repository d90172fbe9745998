"""Configuration versions: the published one, intents and plans."""
