"""Real processes that are stopped and continued while they hold a duty."""
