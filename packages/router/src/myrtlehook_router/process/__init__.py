"""State with the lifetime of the router process: settings, logs, counters, tasks."""
