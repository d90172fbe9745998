Feature: Properties that hold for every history
  Histories are drawn by hypothesis: messages are lost, doubled, late and out of order.

  Scenario: Totals converge after any history once messages flow
    Then for any reports, lost, doubled and out of order, two ledgers agree in the end

  Scenario: A workspace that returns from idle brings no credit
    Then for any floor, a returning workspace starts at the floor or above

  Scenario: A workspace that waited beyond a cut is not taken for idle
    Then for any silence, a workspace that waited all along is not lifted

  Scenario: A new ledger forgets nothing that entries hand to it
    Then for any service by living and dead routers, a new ledger's total is the old one

  Scenario: Charges end at the true cost
    Then for any course of requests, the account ends at the sum of true costs

  Scenario: A stream is delivered whole, once and in order
    Then for any arrival of events, the caller gets a beginning of its own answer

  Scenario: A configuration never goes back
    Then for any order of manifests, the version in force only rises

  Scenario: Leaving never reverts within an incarnation
    Then for any news, a member's incarnation and state only go forward

  Scenario: Ownership moves only where it must
    Then for any fleet, the loss of a router moves only what it owned

  Scenario: Ownership that is mended equals ownership that is worked out anew
    Then for any course of joins and losses, mended ownership is ownership worked out anew

  Scenario: Messages survive the wire, and hostile bytes do no harm
    Then any envelope is read as it was written
    And any bytes are read or refused, and nothing else

  Scenario: No lease starts a request after its deadline
    Then for any delay of a grant, no request starts after the lease

  Scenario: A queue never exceeds its bounds
    Then for any arrivals, no queue exceeds its bounds and every refusal says when to return

  Scenario: The gap stays bounded and nobody starves, with messages lost, doubled and late
    Then for any faulty network, the gap stays under its formula and everyone is served

  Scenario: A slot is never idle for long while a reachable bid waits
    Then for any load, without loss, every server is full again within one refresh

  Scenario: A lease that its holder does not use ends in time, whatever was lost
    Then for any faulty network, a lease on nothing ends in time and no server is overrun

  Scenario: No request is dispatched twice
    Then for any faulty network, every request is dispatched once
