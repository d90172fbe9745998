"""Models of the published documents: the manifest, its parts and the list of VMs."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from myrtlehook_core.version import bounds
from myrtlehook_core.version.configurations import PoolKind

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Digest = Annotated[str, Field(pattern=DIGEST_PATTERN)]
Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]
"""An IPv4 address and a port; host names are not resolved."""


class Document(BaseModel):
    """Base of all documents; rejects unknown fields, so that each becomes a finding."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PartReference(Document):
    """Key of a part in the store, and the digest that its text must have."""

    key: str
    digest: Digest


class ManifestDocument(Document):
    """Lists the parts of one configuration version."""

    version: int = Field(ge=1, le=bounds.MAX_INTEGER)
    parts: tuple[PartReference, ...]
    base_digest: str = ""
    """Digest of the manifest that this version was derived from."""


class LimitsDocument(Document):
    """Queue and rate limits of a workspace at each router."""

    queued_requests: int = Field(default=1000, ge=1, le=bounds.MAX_COUNT)
    queued_bytes: int = Field(default=64 * 1024 * 1024, ge=1024, le=bounds.MAX_INTEGER)
    requests_per_s: float = Field(default=200.0, ge=bounds.MIN_RATE, le=bounds.MAX_RATE)
    burst_requests: int = Field(default=400, ge=1, le=bounds.MAX_COUNT)


class WorkspaceDocument(Document):
    """A workspace as an operator declares it."""

    name: Name
    share: float = Field(ge=bounds.MIN_RATE, le=bounds.MAX_RATE)
    key_digests: tuple[Digest, ...] = ()
    pools: tuple[Name, ...] = ()
    limits: LimitsDocument = LimitsDocument()


class PoolDocument(Document):
    """A pool as an operator declares it."""

    name: Name
    kind: PoolKind
    models: tuple[Name, ...] = ()
    input_token_weight: float = Field(default=0.2, ge=0, le=bounds.MAX_RATE)
    output_token_weight: float = Field(default=1.0, ge=bounds.MIN_RATE, le=bounds.MAX_RATE)
    no_repeat: bool = False
    default_timeout_s: float = Field(default=600.0, gt=0, le=bounds.MAX_WAIT_S)


class OrderDocument(Document):
    """What a backend server should run."""

    role: Name = "serve"
    model: Name
    model_version: Name


class BackendServerDocument(Document):
    """A backend server as an operator declares it."""

    name: Name
    pool: Name
    address: Address
    availability_zone: Name
    slots: int = Field(ge=1, le=4096)
    checks_orders: bool = False
    leaving: bool = False
    order: OrderDocument | None = None


class PartDocument(Document):
    """One part of a configuration; parts are joined, so a name must be unique across them."""

    workspaces: tuple[WorkspaceDocument, ...] = ()
    pools: tuple[PoolDocument, ...] = ()
    backend_servers: tuple[BackendServerDocument, ...] = ()


class VmDocument(Document):
    """One VM in the platform's list."""

    vm: Name
    address: Address
    availability_zone: Name
    state: str = Field(pattern="^(live|leaving)$")


class VmListDocument(Document):
    """The platform's list of router VMs, which may lag behind."""

    vms: tuple[VmDocument, ...]
