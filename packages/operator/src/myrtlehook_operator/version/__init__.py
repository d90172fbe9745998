"""What lives for one configuration version: what is published, intents, plans."""
