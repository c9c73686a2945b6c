"""Reservations of room at targets, coordinated by one VM for each group of targets."""
