"""What lives for one configuration version: the look-up of API keys."""
