"""An emulator of the users' platform, written from its pages: the other side of the wire.

One process plays the store, the model engines and the plain services on loopback, in
real time. It speaks the platform's names, as ``platform/`` does; nothing of the product
imports it.
"""
