"""Decision logic and state of quetzalward, free of I/O and threads."""
