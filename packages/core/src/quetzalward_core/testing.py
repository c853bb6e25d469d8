"""Builders of test data, shared by the tests of every package."""
