Feature: Invalid entries and restarts of servers in the platform's store
  Scenario Outline: An invalid entry defines no server
    When the entry of a server has <field> as <value>
    Then it defines no server, and the fault mentions "<told>"

    Examples:
      | field          | value           | told             |
      | SlotCount      | "64"            | SlotCount        |
      | SlotCount      | missing         | SlotCount        |
      | SlotCount      | 1000000000      | SlotCount        |
      | State          | missing         | State            |
      | State          | "resting"       | resting          |
      | Zone           | missing         | Zone             |
      | SequenceNumber | missing         | SequenceNumber   |
      | SequenceNumber | "4"             | SequenceNumber   |
      | born           | 1.5             | born             |
      | Address        | "10.0.0.1:0"    | port             |
      | Address        | "10.0.0.1:99999" | port            |
      | Address        | "999.0.0.1:80"  | IPv4             |
      | Service        | ""              | Service          |

  Scenario: An invalid entry does not affect the others
    Then of any page of 50 entries of which some are corrupted, only the valid ones define servers

  # Guards against: a page of the store held only items whose keys are none, "pages do not advance" was
  # the answer to each full read, and no entry behind them was ever read.
  Scenario Outline: Pages of odd keys do not hide the entries behind them
    Given a store with 120 items whose keys are <kind>, before and after two servers' entries
    Then a full read of pages of 50 items finds both servers

    Examples:
      | kind                      |
      | longer than 200 bytes     |
      | long and beyond ASCII     |
      | cut in half a character   |
      | half a character and long |
      | long, with a long number  |

  Scenario: A server that restarts under its id is a new server
    Given a server that is ejected and has been sent parts of prompts
    When it restarts under the same id
    Then no state of the earlier start is left
    And the next request goes to the new start, which has the same id

  Scenario: A new start replaces the earlier one also after an outage
    When a list after an outage has another start of a server
    Then only the new start is known

  Scenario: A new start replaces the earlier one also where a peer reports it
    When a peer's whole list after an outage has another start of a server
    Then only the new start is known

  Scenario: An older list never brings an earlier start back
    When a list with an earlier start comes late
    Then only the new start is known

  @nodes.2
  Scenario: An engine that restarts under its id is used again
    When "planners" is served by each engine
    And every engine ends, and restarts under its id
    Then "planners" is served by each engine
