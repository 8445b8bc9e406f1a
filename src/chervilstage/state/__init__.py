"""Records and the classes that hold state."""
