"""Translation between the users' platform and the product.

Nothing outside of this package knows the platform's names.
"""
