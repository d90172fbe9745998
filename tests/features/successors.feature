Feature: A request at a silent server seeks a slot at another one and keeps its own
  Hypothesis draws the histories: arrivals, searches, grants, refusals, hand-overs, drops, ends,
  broken runs, drains, and the removal of servers and of a workspace. Nothing is sent or awaited.

  # Guards against: a successor that was dropped, refused or handed over leaves a charge, a count of
  # attempts, an entry of a queue or a held slot behind, which fills routers and servers.
  Scenario Outline: Nothing is left of requests and their successors
    Given histories of silent <kind>
    Then once all requests have ended, no router holds anything of them

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a successor is placed at the server that is silent, or at another silent one, so
  # that its search spends a retry for nothing.
  Scenario Outline: A successor is placed at no silent server
    Given histories of silent <kind>
    Then no successor is dispatched to a server that runs its request or is silent

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a stream goes on at a server of another software version than it began at, whose
  # output differs, so that its client receives a mix of two answers.
  Scenario Outline: A stream that has begun keeps to its software version
    Given histories of silent <kind>
    Then no stream that has begun is offered a server of another software version

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: successors are not counted as attempts of their request, so that it is sent to
  # more servers than its route allows.
  Scenario Outline: Successors count as attempts of their request
    Given histories of silent <kind>
    Then no request is sent more often than its route allows, its successors included

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: searches that end without a successor use the retries up, or give back ones that
  # they have not used, so that the retry budget no longer limits repeated work.
  Scenario Outline: A retry is spent for each successor that is sent
    Given histories of silent <kind>
    Then a retry is spent for each successor that is sent or sought, and for no other

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a search that was refused without a retry gives one back, so that a router whose
  # servers are all silent mints retries: one for each refused search.
  Scenario Outline: Refused searches do not add to the retry budget
    Given a request at silent <kind> that may be sent 4 times
    When 3 searches are refused, as all servers are silent
    Then the retry budget is as it was

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a call that must not run twice is run by a second server while the first one is
  # only slow.
  Scenario Outline: A request that may not be repeated gets no successor
    Given histories of silent <kind>
    Then no request that may not be repeated gets a successor

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: the slot of a silent server is released while it still runs the request, so that
  # the server gets more requests than it has slots, and the request is lost if nobody else takes it.
  Scenario Outline: A silent server's slot is kept until the hand-over
    Given histories of silent <kind>
    Then a running request keeps its slot until it is handed over or ends

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: the core dispatches or refuses a successor that was withdrawn, so that a slot is
  # held for nobody.
  Scenario Outline: Nothing is decided for a withdrawn successor
    Given histories of silent <kind>
    Then nothing is decided for a request that nobody waits for

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a run breaks off and waits again when its request is handed over. A slot is then
  # taken for it that nobody uses, and its attempts are kept for ever.
  Scenario Outline: A run that waits again when its request is handed over is withdrawn
    Given a request at silent <kind> that may be sent 4 times
    When its run breaks off while its successor is sent, and no server takes it
    And it is handed over to its successor, and all requests end
    Then nothing was dispatched for the first run, and nothing is left of it

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a release overtakes the message that tells the new owner of a server what runs
  # there, so that the owner counts an ended run until its deadline and a second more.
  Scenario Outline: A release that overtakes the news of its run is not lost
    Given a request that runs at one of the <kind>
    When its server gets a new owner, and the request ends at once
    Then the new owner counts nothing for it

    Examples:
      | kind           |
      | engines        |
      | plain services |

  # Guards against: a server goes on, which gives the search up, and breaks off before the search has
  # ended. The core claims a retry before it hears that the successor was sent, so that the request is
  # sent once more than its route allows.
  Scenario: A broken run waits for the end of a search that was given up
    When the server of a request is heard from while its successor is sent, and breaks off
    Then the request is asked for again only after the drop of its successor is reported

  # Guards against: a server goes on just when its successor's time is over and the router is late. The
  # search has been given up and its exchange aborted, and still the request is handed over to it.
  Scenario: A search that was given up takes over no request
    When a search is given up while a router is late, after the successor's time is over
    Then the request is not handed over
