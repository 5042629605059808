"""Tests of the relay of the platform's keys."""
