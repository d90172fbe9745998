Feature: Outages of the source are told from failed calls
  # Guards against: any failed call of one router counted as an outage, in which entries may lapse,
  # and each router began the time in which they may return when it heard of it.

  Scenario: A short time without proof is no outage, a long one is
    Given proofs that the source was reachable at 1.0, 2.0, 3.9 and 4.0 s
    Then entries that are missing at 4.1 s are gone
    When the next proof is of 6.2 s
    Then entries that are missing at 6.3 s may return until 8.2 s
    And entries that are missing at 8.2 s are gone

  Scenario: A proof that arrives late shortens the outage, or shows that there was none
    Given proofs that the source was reachable at 1.0 and 6.0 s
    When a proof of 5.0 s arrives late
    Then entries that are missing at 6.1 s may return until 7.0 s
    When a proof of 2.5 s arrives late
    Then entries that are missing at 6.1 s may return until 7.0 s
    When a proof of 4.0 s arrives late
    Then entries that are missing at 6.1 s are gone

  Scenario: A proof that is handed on in circles does not become younger
    Given proofs that the source was reachable at 1.0 s
    When the proof goes round for 5 s and ages less with each hop
    And the next proof is of 7.0 s
    Then entries that are missing at 7.1 s may return until 9.0 s

  Scenario: A router that started during an outage assumes that entries have lapsed
    Given a router whose first calls to the source failed
    When the next proof is of 7.0 s
    Then entries that are missing at 7.1 s may return until 9.0 s

  Scenario: A paused router takes its own silence for no outage
    Given proofs that the source was reachable at 1.0 s
    When the process has been paused
    And the next proof is of 9.0 s
    Then entries that are missing at 9.1 s are gone

  Scenario: Servers with a missing entry are used only where the others are too few
    Then of 6 servers in a pool, with entries missing, these are withheld
      | missing | withheld |
      | 0       | 0        |
      | 1       | 1        |
      | 2       | 2        |
      | 3       | 0        |
      | 6       | 0        |
    And servers that leave or are held off do not count as others
