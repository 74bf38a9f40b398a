"""Stand-ins and process control for the scripts of the review cases."""
