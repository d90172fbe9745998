Feature: A call to a plain service is granted where a slot is free

  # Load pattern "slow spell of a plain server": servers turn 2.5 times as slow for 0.6 s at a time,
  # so that one owner's slots fill while the others have free ones.
  Scenario Outline: Calls wait only for messages while any server has a free slot
    When 73 routers get <calls> calls a second of 90 ms for 3 servers that have slow spells
    Then 95 in 100 calls start within two exchanges of messages
    And every call has been started once, and no slot is held after the last one

    Examples:
      | calls |
      | 40    |
      | 76    |

  Scenario: Slots are used while calls wait, also when there are more calls than slots
    When 73 routers get 170 calls a second of 90 ms for 3 servers that have slow spells
    Then while calls wait, less than 0.05 of the slots are idle
    And no call has been started twice, and no slot is held after the last one

  # Load pattern "more calls than slots for a while": a burst, and a load of 0.8 of capacity after it.
  Scenario Outline: After a burst, calls that can be in time do not wait for those that are late
    When 73 routers get 244 calls a second for 0.5 s and 140 after it, for 2 servers without slow spells
    Then <part> of the calls have ended within their target of 0.4 s
    And every call has been started once, and no slot is held after the last one

    Examples:
      | part |
      | 0.97 |

  Scenario: Calls that are late are served before their deadline while more come than can be served
    When 73 routers get 150 calls a second of 90 ms for 3 servers that have slow spells
    Then every call has ended before its deadline
    And no call has been started twice, and no slot is held after the last one

  Scenario: Of the calls at one router, one that can still be in time goes first
    Then of a late call and a later one in time, the one in time is more urgent, until half of the late one's time from target to deadline is near

  Scenario: A call without a deadline is bid for as one without a goal
    Then a waiting call without a deadline makes a bid row without a goal

  Scenario: Bids stay bounded in a pool with many owners
    When 60 routers get 500 calls a second of 90 ms for 20 servers that have slow spells
    Then no call was offered to, or withdrawn from, more than 8 owners between two refreshes
    And 95 in 100 calls start within two exchanges of messages

  Scenario: Workspaces that call alike are served alike while calls wait
    When 12 routers get 160 calls a second of two workspaces for 3 servers that have slow spells
    Then both workspaces have been served alike, to a tenth

  Scenario: With the option off, other owners hear of a call at the next refresh
    Given that no further owner is told at once
    When 73 routers get 76 calls a second of 90 ms for 3 servers that have slow spells
    Then no owner has answered a bid, and no bid was spread or updated
    And every call has been started once, and no slot is held after the last one

  Scenario: The owner that is asked dies
    When the owner to which a call is offered first dies before it hears of the call
    Then the call starts within 0.25 s, once

  Scenario Outline: Messages between refreshes may fail
    When 73 routers get 76 calls a second while each <message> is <fault>
    Then every call has been started once, and no slot is held after the last one

    Examples:
      | message    | fault   |
      | NoFreeSlot | lost    |
      | NoFreeSlot | doubled |
      | NoFreeSlot | late    |
      | BidUpdate  | lost    |
      | BidUpdate  | doubled |
      | BidUpdate  | late    |
      | Bid        | doubled |

  Scenario: Two owners grant the same call
    When a router is told that the owner it asked has no slot while the grant is under way
    Then the other owners have granted the call too
    And every call has been started once, and no slot is held after the last one

  Scenario: A refresh looks through the waiting calls once, however many owners hear of them
    When 20 calls or more wait at a router for 20 servers of 12 owners or more, all full
    Then its next refresh makes one bid row of them, and sends it to each owner
