@nodes.1
Feature: A client's request without end holds up no other, and takes no memory

  # Guards against: the sizes of chunks and what follows the last one were read without a limit and without
  # a turn for other tasks, and what was left of a refused body was read for as long as it came.
  Scenario Outline: Other callers are served while a client sends without end
    When a client sends <part> without end to router 1
    Then other callers are served by router 1 meanwhile, until it closes that connection
    And no router holds more than 30 MB more than before

    Examples:
      | part                            |
      | the size of a chunk             |
      | an extension of a chunk         |
      | chunks of one byte              |
      | chunks                          |
      | fields after the last chunk     |
      | a body longer than any allowed  |
      | a field of its head             |
      | blank lines                     |

  # Guards against: a request target beyond ASCII was accepted, no server could be sent it, and the servers were
  # blamed for it.
  Scenario Outline: A head that no server could be sent is refused at once
    When a caller sends the target "<target>" to router 1
    Then the raw answer has status 400
    And no server was blamed

    Examples:
      | target            |
      | /setpoint/\xe9    |
      | /setpoint/\xa0    |
      | /setpoint/a?\xff  |

  # Guards against: a number with leading zeros was cut to its first digits, so that the request had no time.
  Scenario Outline: A deadline of many digits is the number that it states
    When a caller sends the deadline "<deadline>" to router 1
    Then the raw answer has status 200

    Examples:
      | deadline                       |
      | 0000000000003000               |
      | 999999999999999999999999999999 |

  # Guards against: parts of prompts with long ids made messages between routers that none receives.
  Scenario: Parts of a prompt with ids that are too long count as not stated
    When "planners" sends a prompt whose part has an id of 3000 characters to router 1
    Then the attempt has status 200 and a seal
