"""What depends on one configuration version: the lookup of API keys."""
