"""Translation between the users' platform and the product.

Nothing outside this folder knows the platform's names, and nothing in it
decides anything.
"""
