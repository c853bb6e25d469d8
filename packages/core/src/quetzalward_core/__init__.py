"""Pure decisions and state of quetzalward: no socket, thread or file."""
