"""Decision logic, free of I/O, clocks and message encoding."""
