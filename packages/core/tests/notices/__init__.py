"""Tests of targets' notices."""
