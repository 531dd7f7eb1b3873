"""Stand-ins of the users' platform for the scripts of the second review.

They need the standard library only and listen on loopback addresses.
"""
