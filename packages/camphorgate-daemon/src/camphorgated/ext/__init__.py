"""Extensions of the daemon, each with ``setup(app)``."""
