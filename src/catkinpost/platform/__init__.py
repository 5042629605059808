"""Translation between the users' platform and the product.

No code outside of this package uses the platform's names.
"""
