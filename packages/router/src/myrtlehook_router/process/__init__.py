"""What lives as long as the process: settings, logs, counters, tasks."""
