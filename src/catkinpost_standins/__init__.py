"""Stand-ins for what surrounds catkinpost in production; not part of the product."""
