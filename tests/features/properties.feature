Feature: Properties that hold for every history
  Hypothesis generates the histories: messages are lost, duplicated, late and out of order.

  Scenario: Totals converge after any history once messages flow
    Then for any reports, lost, duplicated and out of order, two ledgers converge

  Scenario: A workspace that returns from idle has no credit
    Then for any floor, a returning workspace starts at the floor or above

  Scenario: A workspace that waited beyond a partition does not count as idle
    Then for any silence, a workspace that waited all along is not lifted

  Scenario: A new ledger loses nothing that the ingress routers report to it
    Then for any service by living and dead routers, a new ledger's total is the old one

  Scenario: Charges end at the true cost
    Then for any course of requests, the account ends at the sum of true costs

  Scenario: A stream is delivered whole, once and in order
    Then for any arrival of events, the client receives a prefix of its own answer

  Scenario: A configuration never reverts to an older version
    Then for any order of manifests, the version in force only rises

  Scenario: Leaving never reverts within an incarnation
    Then for any news, a member's incarnation and state only go forward

  Scenario: Ownership moves only where it must
    Then for any fleet, the loss of a router moves only what it owned

  Scenario: Ownership that is updated equals ownership that is recomputed
    Then for any course of joins and losses, updated ownership equals recomputed ownership

  Scenario: Messages are decoded as they were encoded, and invalid bytes do no harm
    Then any envelope is decoded as it was encoded
    And any bytes are decoded, or rejected with a decoding error

  Scenario: No lease starts a request after its deadline
    Then for any delay of a grant, no request starts after the lease

  Scenario: A queue never exceeds its bounds
    Then for any arrivals, no queue exceeds its bounds and every refusal says when to return

  Scenario: The gap stays bounded and nobody starves, with messages lost, duplicated and late
    Then for any faulty network, the gap stays under its formula and everyone is served

  Scenario: A slot is never idle for long while a reachable bid waits
    Then for any load, without loss, every server is full again within one refresh

  Scenario: An unused lease ends in time, whichever messages are lost
    Then for any faulty network, a lease on nothing ends in time and no server is overrun

  Scenario: No request is dispatched twice
    Then for any faulty network, every request is dispatched once
