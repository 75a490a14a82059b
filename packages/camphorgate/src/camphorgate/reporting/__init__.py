"""What the system reports to its operators about requests; pure."""
