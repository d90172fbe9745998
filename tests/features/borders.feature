@nodes.6
Feature: What comes from outside is carried by all that it meets, or dropped where it comes in
  Real routers beside an emulated site. Another program writes into the store; configurations and
  answers of the store are of any kind.

  # Guards against: a value passed the checks of entries, could not be encoded in a message to another
  # router, and the exception ended each process that read it; keys and items that are none did the same,
  # or the whole reading of the store was dropped with the sound entries in it.
  Scenario Outline: What another program writes ends no router, and the rest is read
    When another program has written <items>
    Then every router serves, and none has ended
    And the next configuration is in force at every router

    Examples:
      | items                                           |
      | a cold time of 2**64 as a float                 |
      | a cold time of 2**64 - 1                        |
      | a cold time of 1e300                            |
      | a cold time of 1e300 of a configured service    |
      | a start of 400 digits                           |
      | a sequence number of 400 digits                 |
      | a negative cold time                            |
      | names of a megabyte each                        |
      | a version of a megabyte                         |
      | a zone with a line break                        |
      | an address with a line break                    |
      | an address that names no host                   |
      | models nested without end                       |
      | an id with a surrogate                          |
      | an id with a line break                         |
      | an id beyond Latin-1                            |
      | an id of 5000 characters                        |
      | a page of ids that are too long                 |
      | an id that reads like a start of another server |
      | an evacuated zone with a surrogate              |
      | an evacuated zone of 5000 characters            |
      | a key that is a number                          |
      | a key that is a list                            |
      | no key                                          |
      | a value that is a number                        |
      | a value that is nothing                         |
      | a number for an item                            |
      | nothing for an item                             |
      | a list for an item                              |

  # Guards against: routers that started while such an entry was in the store ended in turn.
  Scenario: A router that starts beside all of them serves
    When another program has written everything
    And router 3 is ended and started beside it
    Then every router serves, and none has ended
    And the next configuration is in force at every router

  # Guards against: an answer of the store ended each router that read it, or was asked for again in vain.
  Scenario Outline: An answer of the store ends no router
    When the store answers for a second with <answer>
    Then every router serves, and none has ended
    And the next configuration is in force at every router

    Examples:
      | answer                   |
      | a revision of 2**64      |
      | a revision of 400 digits |
      | an infinite revision     |
      | a revision of NaN        |
      | a negative revision      |
      | a revision that is text  |
      | lists nested without end |
      | a number                 |
      | pages without end        |

  # Guards against: such an answer was asked for again as it was, until another router read everything anew.
  @nodes.1
  Scenario: Changes that are too large together for one answer are read by pages
    When 30 large configurations are published while no router can reach the store
    Then the last of them is in force at every router

  # Guards against: a configuration was accepted whose values a message, a clock, a socket or a header could
  # not carry: routers ended, or every connection was left without an answer.
  Scenario Outline: A configuration of any kind ends no router, and every caller gets an answer
    When the operator publishes a configuration with <change>
    Then every router answers, and none has ended
    And the next configuration is in force at every router

    Examples:
      | change                               |
      | a version of 2**63                   |
      | a version of 2**70                   |
      | a time-out of 1e300 ms               |
      | an infinite time-out                 |
      | a target of 1e300 ms                 |
      | a pause target of 1e300 ms           |
      | a negative pause target              |
      | a priority of 2**70                  |
      | a tenant's priority of -2**70        |
      | 2**70 attempts                       |
      | an infinite weight                   |
      | weights that are all 0               |
      | a memory of 400 digits               |
      | events of 2**70 tokens               |
      | 2**70 connections                    |
      | a cold start of 1e300 s              |
      | a cold rate of 5e-324                |
      | heads of 2**70 bytes                 |
      | bodies of 2**70 bytes                |
      | a head time-out of 1e300 ms          |
      | an idle time-out of 1e300 ms         |
      | an idle time-out of 1e-300 ms        |
      | an idle time-out of 1 ms             |
      | a head time-out of 1e-300 ms         |
      | 1e300 tokens per second              |
      | a service with a surrogate           |
      | a route with a surrogate             |
      | a tenant with a surrogate            |
      | a tenant with a line break           |
      | a key with a surrogate               |
      | an empty key                         |
      | a region with a surrogate            |
      | 50000 regions                        |
      | a tenant of 100000 characters        |
      | lists nested without end             |
      | 30000 faults                         |

  # Guards against: a tenant's name that no header can carry was accepted, and each of its requests failed.
  Scenario: A tenant whose name is beyond Latin-1 is served
    When the operator publishes a configuration with a tenant whose name is beyond Latin-1
    Then its requests are answered by every router, and the server sees its name in UTF-8

  # Guards against: values of other programs, which the router does not use, filled its memory.
  Scenario: Large values that are not used take no memory
    When another program writes 150 values of a megabyte under keys of its own
    Then no router holds more than 60 MB more than before
    And every router serves, and none has ended
