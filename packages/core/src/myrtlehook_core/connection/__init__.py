"""State of one connection to a backend server: the reassembly of its stream."""
