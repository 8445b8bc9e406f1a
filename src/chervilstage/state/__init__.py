"""Plain records, and the classes that hold mutable state."""
