"""Configuration versions: documents, validation, assembly, exchange, and server discovery."""
