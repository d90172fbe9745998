"""What lives for one connection to a backend server: the reassembly of its stream."""
