Feature: The end of a server is noticed whatever it was doing
  # Guards against: an engine ended while it ran nothing and came back under its id at another
  # software version, before its entry told so. No router had noticed the end, and streams of the
  # listed version went on there.

  @nodes.2
  Scenario: The end of an idle engine is noticed by routers that keep connections to it
    Given every engine has served each router
    When an idle engine ends
    Then before it is back a router no longer relies on its listed software version

  @nodes.2
  Scenario: The end of an engine that nobody has used is noticed where several versions serve
    Given the engines are of two software versions
    When an idle engine ends
    Then before it is back a router no longer relies on its listed software version

  @nodes.2
  Scenario: A refused connection shows that an engine has ended
    When an idle engine ends
    And requests are sent to both routers
    Then before it is back a router no longer relies on its listed software version
