"""The state of one run of the tool: its commands and their output."""
