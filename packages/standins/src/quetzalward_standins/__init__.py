"""Development stand-ins for the platform."""
