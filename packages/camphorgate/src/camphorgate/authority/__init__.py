"""Who may give orders, and what was ordered; pure decisions."""
