"""The whole path shown with stand-ins."""
