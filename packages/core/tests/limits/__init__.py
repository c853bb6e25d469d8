"""Tests of limits on requests."""
