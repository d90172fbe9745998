"""What lives for one configuration version: documents, manifests, plans."""
