"""An emulator of the users' platform, which tests run the routers against.

One process serves the store, the model engines and the plain services on loopback, in
real time. It is written from the platform's own pages and uses the platform's names for
headers and fields, as ``platform/`` does. The product does not import it.
"""
