"""What operators see."""
